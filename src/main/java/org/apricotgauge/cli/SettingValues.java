package org.apricotgauge.cli;

import java.util.Map;

/**
 * The checked values of a program's settings, read by the declared setting.
 *
 * <pre>{@code
 * int port = values.get(CALLER_PORT);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class SettingValues {
    private final Map<Setting<?>, Object> mValues;

    SettingValues(Map<Setting<?>, Object> values) {
        mValues = Map.copyOf(values);
    }

    /**
     * Returns the value of a setting that the command declares.
     *
     * @throws IllegalArgumentException if the command does not declare it
     */
    @SuppressWarnings("unchecked")
    public <T> T get(Setting<T> setting) {
        Object value = mValues.get(setting);
        if (value == null) {
            throw new IllegalArgumentException(setting + " is not declared by this command");
        }
        return (T) value;
    }
}
