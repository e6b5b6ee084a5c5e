package org.apricotgauge.operator;

import java.util.Set;
import java.util.TreeSet;
import org.eclipse.jetty.util.Fields;

/** The parameters of one request, checked; a fault is an {@link IllegalArgumentException}. */
final class AdminQuery {
    private static final int MAX_SHOWN = 40;

    private final Fields mFields;

    AdminQuery(Fields fields, Set<String> allowed) {
        mFields = fields;
        for (Fields.Field field : fields) {
            if (!allowed.contains(field.getName())) {
                throw new IllegalArgumentException(
                        "unknown parameter " + shown(field.getName()) + "; " + listed(allowed));
            }
            if (field.getValues().size() > 1) {
                throw new IllegalArgumentException(field.getName() + " is given more than once");
            }
        }
    }

    long number(String name, long defaultValue, long min, long max) {
        String text = mFields.getValue(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // Told below, with the same line as a number out of range.
        }
        throw new IllegalArgumentException(
                name
                        + " must be a whole number from "
                        + min
                        + " to "
                        + max
                        + ", was "
                        + shown(text));
    }

    String text(String name) {
        return mFields.getValue(name);
    }

    private static String listed(Set<String> allowed) {
        return allowed.isEmpty()
                ? "none is allowed here"
                : "allowed: " + String.join(", ", new TreeSet<>(allowed));
    }

    /** What a caller sent is shown short and without line breaks. */
    private static String shown(String text) {
        String head = text.length() <= MAX_SHOWN ? text : text.substring(0, MAX_SHOWN) + "...";
        return '"' + head.replaceAll("[^ -~]", "?") + '"';
    }
}
