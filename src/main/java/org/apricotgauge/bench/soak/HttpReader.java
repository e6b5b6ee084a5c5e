package org.apricotgauge.bench.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.apricotgauge.model.Checks;

/** Reads HTTP/1.1 messages from a connection, and counts the bytes of the one being read. */
final class HttpReader {
    private static final String LENGTH = "Content-Length";
    private static final String ENCODING = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final int HEXADECIMAL = 16;

    private final InputStream mIn;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Head mHead;
    private long mBytes;

    /** First line and headers of a message; names are in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        Head {
            headers = Map.copyOf(headers);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        /** Returns the status of a response. */
        int status() {
            return Integer.parseInt(firstLine.split(" ", 3)[1]);
        }
    }

    HttpReader(InputStream in) {
        mIn = Checks.notNull("in", in);
    }

    /** Starts the next message. */
    void begin() {
        mHead = null;
        mBytes = 0;
        mBody.reset();
    }

    /** Returns the head of the present message; null if it has not arrived whole. */
    Head head() {
        return mHead;
    }

    /** Returns how many bytes of the present message have arrived. */
    long bytes() {
        return mBytes;
    }

    /** Returns the body of the present message as far as it has arrived. */
    byte[] body() {
        return mBody.toByteArray();
    }

    /** Reads the head of a message; interim responses are passed over. */
    Head readHead() throws IOException {
        Head head = readOneHead();
        while (head.firstLine().startsWith("HTTP/1.1 1")) {
            head = readOneHead();
        }
        mHead = head;
        return head;
    }

    private Head readOneHead() throws IOException {
        String firstLine = readLine();
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(firstLine, headers);
    }

    /** Reads the body of a response, which may end with the connection. */
    void readResponseBody() throws IOException {
        if (isEndedByClose()) {
            readToEnd();
        } else {
            readBody();
        }
    }

    /** Returns whether the end of the connection is the end of the present response. */
    boolean isEndedByClose() {
        return mHead != null && mHead.header(LENGTH) == null && mHead.header(ENCODING) == null;
    }

    /** Reads the body of a request. */
    void readBody() throws IOException {
        if (CHUNKED.equalsIgnoreCase(mHead.header(ENCODING))) {
            readChunks();
            return;
        }
        String length = mHead.header(LENGTH);
        readBytes(length == null ? 0 : Integer.parseInt(length));
    }

    private void readChunks() throws IOException {
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            readBytes(size);
            readLine();
        }
        while (!readLine().isEmpty()) {
            continue;
        }
    }

    private int readChunkSize() throws IOException {
        String line = readLine();
        int end = line.indexOf(';');
        return Integer.parseInt(end < 0 ? line : line.substring(0, end), HEXADECIMAL);
    }

    private void readBytes(int count) throws IOException {
        byte[] buffer = new byte[8_192];
        int left = count;
        while (left > 0) {
            int read = mIn.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("the connection ended with " + left + " bytes left");
            }
            mBytes += read;
            mBody.write(buffer, 0, read);
            left -= read;
        }
    }

    private void readToEnd() throws IOException {
        byte[] buffer = new byte[8_192];
        for (int read = mIn.read(buffer); read >= 0; read = mIn.read(buffer)) {
            mBytes += read;
            mBody.write(buffer, 0, read);
        }
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int read = mIn.read();
            if (read < 0) {
                throw new EOFException("the connection ended in a head");
            }
            mBytes++;
            if (read == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(read);
        }
    }
}
