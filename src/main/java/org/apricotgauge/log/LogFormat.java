package org.apricotgauge.log;

/** How a line of the log is written. */
public enum LogFormat {
    /** One JSON object a line, for machines. */
    JSON,
    /** Plain text, for people. */
    TEXT
}
