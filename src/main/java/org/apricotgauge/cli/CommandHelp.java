package org.apricotgauge.cli;

import java.util.List;

/** The text of {@code --help}. */
final class CommandHelp {
    private static final String INDENT = "      ";

    private CommandHelp() {}

    static String text(String name, String summary, List<Setting<?>> settings) {
        StringBuilder text = new StringBuilder();
        text.append("usage: ").append(name).append(" [flags]\n").append(summary).append("\n\n");
        text.append("A flag goes before its environment variable.\n\n");
        for (Setting<?> setting : settings) {
            append(text, setting);
        }
        text.append("  --help\n").append(INDENT).append("Shows this text and exits.\n");
        text.append("  --version\n").append(INDENT).append("Shows the version and exits.\n");
        text.append("\nExit codes: 0 done; 1 negative verdict; 2 faulty settings; 3 cannot start;")
                .append(" 4 broken invariant.\n");
        return text.toString();
    }

    private static void append(StringBuilder text, Setting<?> setting) {
        text.append("  ").append(setting.flag()).append('\n');
        text.append(INDENT).append(setting.help()).append('\n');
        text.append(INDENT).append("Unit: ").append(setting.allowed()).append('\n');
        text.append(INDENT).append("Default: ").append(setting.defaultText()).append('\n');
        text.append(INDENT).append("Environment: ").append(setting.variable()).append('\n');
    }
}
