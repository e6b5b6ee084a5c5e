package org.apricotgauge.log;

/** The least grave lines that the log shows. */
public enum LogLevel {
    /** Only what needs an operator. */
    ERROR,
    /** Also what may need one. */
    WARN,
    /** Also changes of state; the usual level. */
    INFO,
    /** Also what helps to find a fault. */
    DEBUG
}
