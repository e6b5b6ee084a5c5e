package org.apricotgauge.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.LongSupplier;

/** Writes each event as one JSON object on one line: time, level, logger, message, fields. */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
    private final JsonFactory mFactory = new JsonFactory();
    private final LongSupplier mDropped;

    /** Creates an encoder that asks before each line how many were dropped before it. */
    JsonLineEncoder(LongSupplier dropped) {
        mDropped = dropped;
    }

    @Override
    public byte[] headerBytes() {
        return new byte[0];
    }

    @Override
    public byte[] footerBytes() {
        return new byte[0];
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = mFactory.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("time", event.getInstant().toString());
            json.writeStringField("level", event.getLevel().toString());
            json.writeStringField("logger", event.getLoggerName());
            json.writeStringField("message", event.getFormattedMessage());
            writeFields(json, event.getMDCPropertyMap());
            long dropped = mDropped.getAsLong();
            if (dropped > 0) {
                json.writeNumberField("linesDropped", dropped);
            }
            if (event.getThrowableProxy() != null) {
                String trace = ThrowableProxyUtil.asString(event.getThrowableProxy());
                json.writeStringField("error", trace);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory does not fail", e);
        }
        bytes.writeBytes("\n".getBytes(StandardCharsets.UTF_8));
        return bytes.toByteArray();
    }

    private static void writeFields(JsonGenerator json, Map<String, String> fields)
            throws IOException {
        for (Map.Entry<String, String> field : fields.entrySet()) {
            json.writeFieldName(field.getKey());
            if (field.getKey().equals(StateLog.FIELD)) {
                json.writeRawValue(field.getValue());
            } else {
                json.writeString(field.getValue());
            }
        }
    }
}
