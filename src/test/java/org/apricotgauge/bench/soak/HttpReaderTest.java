package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Answers have to be read to their end, however it is told. */
class HttpReaderTest {
    private static HttpReader reader(String text) {
        return new HttpReader(new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    // Guards against an answer without a length that is taken for an empty one.
    @Test
    void anAnswerWithoutALengthEndsWithItsConnection() throws IOException {
        HttpReader reader = reader("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
        reader.readHead();
        reader.readResponseBody();
        assertThat(reader.isEndedByClose()).isTrue();
        assertThat(reader.body()).asString().isEqualTo("whole");
    }

    // Guards against a caller that waits for the end of a connection that is kept.
    @Test
    void anAnswerWithALengthOrChunksDoesNot() throws IOException {
        HttpReader reader =
                reader(
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
                                + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "3\r\ncde\r\n0\r\n\r\n");
        reader.readHead();
        reader.readResponseBody();
        assertThat(reader.isEndedByClose()).isFalse();
        assertThat(reader.body()).asString().isEqualTo("ab");
        reader.begin();
        reader.readHead();
        reader.readResponseBody();
        assertThat(reader.isEndedByClose()).isFalse();
        assertThat(reader.body()).asString().isEqualTo("cde");
    }
}
