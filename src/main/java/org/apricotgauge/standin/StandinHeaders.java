package org.apricotgauge.standin;

/** Headers between the caller stand-in and the target stand-in; the fleet passes them on. */
public final class StandinHeaders {
    /** Identifier of a request; echoed, and counted when the work runs. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** How many bytes the body of the answer shall have. */
    public static final String ANSWER_BYTES = "X-Answer-Bytes";

    /** CRC-32 of the body that the target received, in hexadecimal. */
    public static final String BODY_CRC = "X-Body-Crc";

    /** Name of the target that answered. */
    public static final String SERVED_BY = "X-Served-By";

    private StandinHeaders() {}
}
