package org.apricotgauge.node;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Base64;
import java.util.Optional;
import org.apricotgauge.decision.detection.EvidenceDigest;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes evidence as MessagePack for gossip, and as base64url of that for a header.
 *
 * <p>Malformed evidence, or that of a release with other fields, decodes to an empty result.
 */
final class EvidenceCodec {
    private static final int MAX_BYTES = 4_096;
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private EvidenceCodec() {}

    static byte[] encode(EvidenceDigest digest) {
        try {
            return MAPPER.writeValueAsBytes(digest);
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode evidence: " + digest, e);
        }
    }

    static Optional<EvidenceDigest> decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readValue(bytes, EvidenceDigest.class));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    static String toHeader(byte[] encoded) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(encoded);
    }

    static Optional<EvidenceDigest> fromHeader(String text) {
        try {
            return decode(Base64.getUrlDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
