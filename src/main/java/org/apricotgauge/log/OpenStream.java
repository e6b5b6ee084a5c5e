package org.apricotgauge.log;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/**
 * A stream that outlives its appender.
 *
 * <p>Logback closes an appender's stream when the log is configured anew. Were that standard error,
 * the process would be mute from then on; here only what was written so far is flushed.
 */
final class OpenStream extends FilterOutputStream {

    OpenStream(OutputStream stream) {
        super(stream);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        out.write(bytes, offset, length); // the super class would write byte by byte
    }

    @Override
    public void close() throws IOException {
        flush();
    }
}
