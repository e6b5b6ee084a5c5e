package org.apricotgauge.directory;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Writes pages as nodes send them to each other, in MessagePack, and reads them back.
 *
 * <pre>{@code
 * byte[] bytes = codec.encode(page);
 * PublishedPage page = codec.decode(bytes);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PageCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** A page on the wire; a node of an earlier release tells no age. */
    private record PageMessage(
            long revision, boolean whole, List<PublishedItem> items, Long ageMillis) {
        static PageMessage of(PublishedPage page) {
            return new PageMessage(page.revision(), page.whole(), page.items(), page.ageMillis());
        }

        PublishedPage page() {
            long knownAgeMillis = ageMillis == null ? PublishedPage.UNKNOWN_AGE : ageMillis;
            return new PublishedPage(revision, whole, items, knownAgeMillis);
        }
    }

    /** Returns the bytes of a page. */
    public byte[] encode(PublishedPage page) {
        try {
            return MAPPER.writeValueAsBytes(PageMessage.of(page));
        } catch (IOException e) {
            throw new IllegalStateException("a page can always be written", e);
        }
    }

    /**
     * Returns the page that the bytes hold.
     *
     * @throws IOException if they hold none
     */
    public PublishedPage decode(byte[] bytes) throws IOException {
        return MAPPER.readValue(bytes, PageMessage.class).page();
    }
}
