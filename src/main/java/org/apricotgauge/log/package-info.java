/** Logs: JBoss Logging over Logback, one JSON object a line on standard error. */
package org.apricotgauge.log;
