package org.apricotgauge.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Turns the texts of flags and variables into values, and gathers every fault. */
final class SettingReader {
    private final FlagReader.Flags mFlags;
    private final Map<String, String> mEnvironment;
    private final List<SettingFault> mFaults;
    private final Map<Setting<?>, Object> mValues = new HashMap<>();

    SettingReader(FlagReader.Flags flags, Map<String, String> environment) {
        mFlags = flags;
        mEnvironment = environment;
        mFaults = new ArrayList<>(flags.faults());
    }

    /**
     * What came of the reading.
     *
     * @param values complete only if there is no fault
     * @param faults one for each fault, in the order of declaration
     */
    record Result(SettingValues values, List<SettingFault> faults) {}

    Result read(List<Setting<?>> settings) {
        settings.forEach(this::readOne);
        return new Result(new SettingValues(mValues), List.copyOf(mFaults));
    }

    private <T> void readOne(Setting<T> setting) {
        List<String> texts = mFlags.texts().getOrDefault(setting.name(), List.of());
        if (texts.size() > 1) {
            mFaults.add(new SettingFault(setting.flag(), "given " + texts.size() + " times"));
            return;
        }
        if (texts.size() == 1) {
            boolean isBare = setting.isToggle() && texts.get(0).isEmpty();
            parse(setting, setting.flag(), isBare ? "true" : texts.get(0));
            return;
        }
        String variable = mEnvironment.get(setting.variable());
        if (variable != null) {
            parse(setting, setting.variable(), variable);
            return;
        }
        useDefault(setting);
    }

    private <T> void parse(Setting<T> setting, String source, String text) {
        try {
            mValues.put(setting, setting.parse(text));
        } catch (IllegalArgumentException e) {
            mFaults.add(SettingFault.notAllowed(source, text, setting.allowed()));
        }
    }

    private <T> void useDefault(Setting<T> setting) {
        Optional<Supplier<T>> defaultValue = setting.defaultValue();
        if (defaultValue.isPresent()) {
            mValues.put(setting, defaultValue.get().get());
            return;
        }
        if (mFlags.faults().isEmpty()) {
            mFaults.add(
                    new SettingFault(
                            setting.flag(),
                            "must be given (or "
                                    + setting.variable()
                                    + "); allowed: "
                                    + setting.allowed()));
        }
    }
}
