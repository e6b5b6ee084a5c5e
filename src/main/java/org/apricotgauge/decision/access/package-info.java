/** Access control: decides which member a request comes from, and whether it is allowed. */
package org.apricotgauge.decision.access;
