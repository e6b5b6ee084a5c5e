package org.apricotgauge.cli;

import java.util.function.Function;
import java.util.function.Predicate;
import org.apricotgauge.model.Checks;

/**
 * How the text of a setting becomes a value, and what is allowed.
 *
 * <pre>{@code
 * SettingKind<Integer> even =
 *         SettingKinds.integer("slots", 0, 100).where(n -> n % 2 == 0, "an even number of slots");
 * }</pre>
 *
 * @param <T> type of the value
 * @param allowed unit and range in words, shown by {@code --help} and in each fault
 * @param parser makes the value; throws {@link IllegalArgumentException} if it is not allowed
 * @param formatter makes the text that {@code --help} shows for a default
 */
public record SettingKind<T>(
        String allowed, Function<String, T> parser, Function<T, String> formatter) {

    /** Checks the parts. */
    public SettingKind {
        Checks.notBlank("allowed", allowed);
        Checks.notNull("parser", parser);
        Checks.notNull("formatter", formatter);
    }

    /** Returns this kind narrowed to the values for which the condition holds. */
    public SettingKind<T> where(Predicate<T> condition, String allowedThen) {
        Checks.notNull("condition", condition);
        return new SettingKind<>(
                allowedThen,
                text -> {
                    T value = parser.apply(text);
                    if (!condition.test(value)) {
                        throw new IllegalArgumentException("not " + allowedThen);
                    }
                    return value;
                },
                formatter);
    }
}
