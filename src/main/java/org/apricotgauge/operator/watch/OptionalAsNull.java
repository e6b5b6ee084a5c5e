package org.apricotgauge.operator.watch;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.Module;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.databind.type.TypeFactory;
import java.io.IOException;
import java.util.Optional;

/** Writes an optional value as the value or null, for which Jackson wants a module of its own. */
final class OptionalAsNull extends StdSerializer<Optional<?>> {
    private static final long serialVersionUID = 1L;
    private static final JavaType TYPE =
            TypeFactory.defaultInstance().constructType(Optional.class);

    private OptionalAsNull() {
        super(TYPE);
    }

    static Module module() {
        return new SimpleModule().addSerializer(new OptionalAsNull());
    }

    @Override
    public void serialize(Optional<?> value, JsonGenerator json, SerializerProvider provider)
            throws IOException {
        provider.defaultSerializeValue(value.orElse(null), json);
    }
}
