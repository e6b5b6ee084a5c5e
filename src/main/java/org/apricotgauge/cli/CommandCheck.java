package org.apricotgauge.cli;

import java.util.List;

/**
 * A check over several settings at once.
 *
 * <pre>{@code
 * values -> values.get(MIN) <= values.get(MAX)
 *         ? List.of()
 *         : List.of(new SettingFault("--min", "must not be above --max"));
 * }</pre>
 */
@FunctionalInterface
public interface CommandCheck {

    /** Returns the faults; empty if the settings fit together. */
    List<SettingFault> faults(SettingValues values);
}
