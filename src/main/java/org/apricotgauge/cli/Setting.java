package org.apricotgauge.cli;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.apricotgauge.model.Checks;

/**
 * One declared setting of a program: a flag and an environment variable of the same name.
 *
 * <pre>{@code
 * static final Setting<Integer> CALLER_PORT =
 *         Setting.withDefault("caller-port", SettingKinds.port(), 8080, "Port for callers.");
 * // --caller-port 9000, --caller-port=9000, or APRICOTGAUGE_CALLER_PORT=9000
 * }</pre>
 *
 * <p>The flag goes before the variable. Immutable and safe to share.
 *
 * @param <T> type of the value that the program reads
 */
public final class Setting<T> {
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9]*(-[a-z0-9]+)*");
    private static final String VARIABLE_PREFIX = "APRICOTGAUGE_";

    private final String mName;
    private final String mAllowed;
    private final String mHelp;
    private final Function<String, T> mParser;
    private final Optional<Supplier<T>> mDefault;
    private final String mDefaultText;
    private final boolean mIsToggle;

    private Setting(
            String name,
            SettingKind<?> kind,
            Function<String, T> parser,
            Optional<Supplier<T>> defaultValue,
            String defaultText,
            String help,
            boolean isToggle) {
        if (name == null || !NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    "name must be lower case words with hyphens, was \"" + name + '"');
        }
        mName = name;
        mAllowed = kind.allowed();
        mParser = parser;
        mDefault = defaultValue;
        mDefaultText = defaultText;
        mHelp = Checks.notBlank("help", help);
        mIsToggle = isToggle;
    }

    /** Returns a setting that must be given. */
    public static <T> Setting<T> required(String name, SettingKind<T> kind, String help) {
        return new Setting<>(
                name, kind, kind.parser(), Optional.empty(), "none, must be given", help, false);
    }

    /** Returns a setting that has the given value where it is left out. */
    public static <T> Setting<T> withDefault(
            String name, SettingKind<T> kind, T defaultValue, String help) {
        Checks.notNull("defaultValue", defaultValue);
        String text = kind.formatter().apply(defaultValue);
        return new Setting<>(
                name,
                kind,
                kind.parser(),
                Optional.of(() -> defaultValue),
                text.isEmpty() ? "empty" : text,
                help,
                false);
    }

    /** Returns a setting that may be left out, and is empty then. */
    public static <T> Setting<Optional<T>> optional(String name, SettingKind<T> kind, String help) {
        return new Setting<>(
                name,
                kind,
                text -> Optional.of(kind.parser().apply(text)),
                Optional.of(Optional::empty),
                "none",
                help,
                false);
    }

    /** Returns a setting that is false unless given; its flag may stand without a value. */
    public static Setting<Boolean> toggle(String name, String help) {
        SettingKind<Boolean> kind = SettingKinds.bool();
        return new Setting<>(
                name, kind, kind.parser(), Optional.of(() -> false), "false", help, true);
    }

    /** Returns the flag, with its two hyphens. */
    public String flag() {
        return "--" + mName;
    }

    /** Returns the name of the environment variable. */
    public String variable() {
        return VARIABLE_PREFIX + mName.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    String name() {
        return mName;
    }

    /** Returns the unit and range in words. */
    public String allowed() {
        return mAllowed;
    }

    String help() {
        return mHelp;
    }

    String defaultText() {
        return mDefaultText;
    }

    Optional<Supplier<T>> defaultValue() {
        return mDefault;
    }

    boolean isToggle() {
        return mIsToggle;
    }

    /** Makes the value; a parser's {@link IllegalArgumentException} means it is not allowed. */
    T parse(String text) {
        return mParser.apply(text);
    }

    @Override
    public String toString() {
        return flag();
    }
}
