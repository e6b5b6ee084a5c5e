/** The story of one request or one target, from the log lines of all nodes. */
package org.apricotgauge.operator.story;
