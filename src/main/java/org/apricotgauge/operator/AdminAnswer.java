package org.apricotgauge.operator;

/**
 * An answer of the administration API.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the whole body
 */
record AdminAnswer(int status, String contentType, String body) {
    static final String TEXT = "text/plain; charset=utf-8";
    static final String JSON = "application/json";
    static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

    static AdminAnswer json(String body) {
        return new AdminAnswer(200, JSON, body);
    }

    static AdminAnswer line(int status, String line) {
        return new AdminAnswer(status, TEXT, line + '\n');
    }
}
