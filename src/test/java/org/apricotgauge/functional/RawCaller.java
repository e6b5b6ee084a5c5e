package org.apricotgauge.functional;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that writes and reads plain bytes, so that tests see what is really on the wire. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 30_000;

    private final Socket mSocket;

    RawCaller(int port) throws IOException {
        mSocket = new Socket("127.0.0.1", port);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
    }

    RawCaller send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Sends a request without a body that asks for the connection to be closed. */
    RawCaller request(String method, String path, String... headers) throws IOException {
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: site\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return send(head.append("Connection: close\r\n\r\n").toString());
    }

    /** Reads the head of the next answer; null if the connection ended. */
    String readHead() throws IOException {
        return RawTarget.readHead(mSocket.getInputStream());
    }

    /** Reads everything until the connection ends. */
    String readAll() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Reads so many bytes, fewer if the connection ends. */
    String read(int bytes) throws IOException {
        return new String(mSocket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
