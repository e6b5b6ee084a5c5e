package org.apricotgauge.cli;

import org.apricotgauge.model.Checks;

/**
 * One fault of the given settings, told to the operator in one line.
 *
 * @param source the flag, variable or argument at fault
 * @param problem the value and what is allowed
 */
public record SettingFault(String source, String problem) {

    /** Checks the parts. */
    public SettingFault {
        Checks.notBlank("source", source);
        Checks.notBlank("problem", problem);
    }

    /** Returns the fault of a value that the setting does not allow. */
    public static SettingFault notAllowed(Setting<?> setting, String value) {
        return notAllowed(setting.flag(), value, setting.allowed());
    }

    static SettingFault notAllowed(String source, String value, String allowed) {
        return new SettingFault(
                source, '"' + printable(value) + "\" is not allowed; allowed: " + allowed);
    }

    /** Returns the line, without the program's name. */
    public String line() {
        return printable(source) + ": " + printable(problem);
    }

    /** A value with a line break in it would make two lines of one fault. */
    private static String printable(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
