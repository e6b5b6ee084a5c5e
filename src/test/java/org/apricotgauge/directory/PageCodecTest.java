package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.StorePosition;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class PageCodecTest {
    private static final byte[] LARGE =
            "a route like the one before, ".repeat(8_000).getBytes(StandardCharsets.UTF_8);
    private static final PublishedPage PAGE =
            new PublishedPage(
                    new StorePosition(3, 7),
                    true,
                    List.of(
                            new PublishedItem("small", new byte[] {1, 2}, 5, false),
                            new PublishedItem("large", LARGE, 6, false),
                            PublishedItem.removed("gone", 7)),
                    250);

    private final PageCodec mCodec = new PageCodec();

    @Test
    void roundTripsPage() throws Exception {
        for (boolean compressed : new boolean[] {true, false}) {
            PublishedPage decoded = mCodec.decode(mCodec.encode(PAGE, compressed));

            assertThat(decoded.position()).isEqualTo(new StorePosition(3, 7));
            assertThat(decoded.full()).isTrue();
            assertThat(decoded.ageMillis()).isEqualTo(250);
            assertThat(decoded.items())
                    .extracting(PublishedItem::key)
                    .containsExactly("small", "large", "gone");
            assertThat(decoded.items().get(1).value()).isEqualTo(LARGE);
            assertThat(decoded.items().get(2).removed()).isTrue();
        }
    }

    @Test
    void compressesLargeValue() {
        assertThat(mCodec.encode(PAGE, true).length).isLessThan(LARGE.length / 8);
        assertThat(mCodec.encode(PAGE, false).length).isGreaterThan(LARGE.length);
    }

    @Test
    void forwardedValueIsCompressedOnce() throws Exception {
        ValueCompressor packer = new ValueCompressor();
        byte[] packed = packer.compress(LARGE);

        assertThat(packer.compress(LARGE)).isSameAs(packed);
        byte[] plain = packer.decompress(packed, LARGE.length);
        assertThat(packer.compress(plain)).isSameAs(packed);
    }

    @Test
    void rejectsCompressedValueOfOtherLength() {
        ValueCompressor packer = new ValueCompressor();
        byte[] packed = packer.compress(LARGE);

        assertThatThrownBy(() -> packer.decompress(packed, LARGE.length - 1))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> packer.decompress(packed, LARGE.length + 1))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> packer.decompress(new byte[] {9, 9, 9}, 100))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> packer.decompress(packed, Integer.MAX_VALUE))
                .isInstanceOf(IOException.class);
    }

    @Test
    void roundTripsLostWrites() throws Exception {
        PublishedItem end = new PublishedItem("gone", new byte[] {3}, 7, true);

        PublishedPage decoded =
                mCodec.decode(mCodec.encode(PAGE.withLostWrites(List.of(end)), true));

        assertThat(decoded.lostWrites()).hasSize(1);
        assertThat(decoded.lostWrites().get(0).removed()).isTrue();
        assertThat(decoded.lostWrites().get(0).value()).containsExactly(3);
    }

    /** Guards against nodes of the release before, which ignore what they do not know. */
    @Test
    void earlierReleaseReadsItsOwnFieldsAndSendsNoOthers() throws Exception {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

        Map<?, ?> sent = mapper.readValue(mCodec.encode(PAGE, true), Map.class);
        PublishedPage received =
                mCodec.decode(
                        mapper.writeValueAsBytes(
                                Map.of(
                                        "revision",
                                        7,
                                        "whole",
                                        true,
                                        "items",
                                        List.of(),
                                        "ageMillis",
                                        250)));

        assertThat(sent.get("revision")).isEqualTo(7);
        assertThat(sent.get("whole")).isEqualTo(true);
        assertThat((List<?>) sent.get("items")).hasSize(3);
        assertThat(sent.get("ageMillis")).isEqualTo(250);
        assertThat(received.position().hasEra()).isFalse();
        assertThat(received.lostWrites()).isEmpty();
    }

    /** Guards against a node that a broken or hostile page takes out of service. */
    @Test
    void rejectsMalformedPage() throws Exception {
        byte[] bytes = mCodec.encode(PAGE, true);

        for (int length = 0; length < bytes.length; length += 7) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThatThrownBy(() -> mCodec.decode(cut)).isInstanceOf(IOException.class);
        }
        byte[] longValue =
                new ObjectMapper(new MessagePackFactory())
                        .writeValueAsBytes(
                                Map.of("items", List.of(Map.of("value", new byte[] {1, 2, 3}))));
        longValue[longValue.length - 4] = (byte) 200;
        assertThatThrownBy(() -> mCodec.decode(longValue)).isInstanceOf(IOException.class);
    }

    /** Guards against a page of a later release that this one can't read. */
    @Test
    void skipsUnknownFields() throws Exception {
        byte[] later =
                new ObjectMapper(new MessagePackFactory())
                        .writeValueAsBytes(
                                Map.of(
                                        "items",
                                        List.of(
                                                Map.of(
                                                        "key",
                                                        "a",
                                                        "value",
                                                        new byte[] {1},
                                                        "later",
                                                        List.of(1, Map.of("x", 2)))),
                                        "later",
                                        Map.of("x", List.of("y"))));

        assertThat(mCodec.decode(later).items())
                .extracting(PublishedItem::key)
                .containsExactly("a");
    }
}
