package org.apricotgauge.http.client;

/** A request on its way that can be aborted. */
@FunctionalInterface
public interface Abortable {
    /** Aborts the request; does nothing once it has ended. */
    void abort(Throwable cause);
}
