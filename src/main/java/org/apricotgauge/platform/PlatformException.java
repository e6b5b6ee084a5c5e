package org.apricotgauge.platform;

/** The platform did not answer, or answered what cannot be used. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure of one call. */
    public PlatformException(String message) {
        super(message);
    }

    /** Creates the failure of one call from what caused it. */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
