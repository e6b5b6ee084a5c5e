package org.apricotgauge.decision.gossip;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.apricotgauge.model.Vm;

/** Encodes and decodes the payloads of liveness and leaving items. */
final class ItemPayloads {
    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ItemPayloads() {}

    static byte[] encode(Vm vm) {
        try {
            return JSON.writeValueAsBytes(vm);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the VM, or null if the payload can't be decoded. */
    static Vm decodeVm(byte[] payload) {
        try {
            return JSON.readValue(payload, Vm.class);
        } catch (IOException e) {
            return null;
        }
    }

    static byte[] encode(long incarnation) {
        return Long.toString(incarnation).getBytes(StandardCharsets.US_ASCII);
    }
}
