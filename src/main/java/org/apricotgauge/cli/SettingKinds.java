package org.apricotgauge.cli;

import java.net.URI;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The kinds of settings that the programs use.
 *
 * <pre>{@code
 * Setting<Long> drain =
 *         Setting.withDefault("drain-millis", SettingKinds.millis(0, 600_000), 30_000L, "...");
 * }</pre>
 *
 * <p>No kind resolves a name or touches a file: settings are checked without I/O.
 */
public final class SettingKinds {
    private static final int MAX_PORT = 65_535;
    private static final Pattern IPV4 =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");
    private static final Pattern IPV6 = Pattern.compile("[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*");
    private static final Pattern HOST_PORT =
            Pattern.compile("(\\[[0-9A-Fa-f:.]+]|[A-Za-z0-9][A-Za-z0-9.-]*):(\\d{1,5})");
    private static final int MAX_OCTET = 255;

    private SettingKinds() {}

    /** Returns whole numbers in a closed range; {@code unit} names what they count. */
    public static SettingKind<Integer> integer(String unit, int min, int max) {
        Checks.notBlank("unit", unit);
        return new SettingKind<>(
                range(unit, min, max),
                text -> (int) Checks.inRange(unit, Integer.parseInt(text), min, max),
                String::valueOf);
    }

    /** Returns whole numbers of 64 bits in a closed range; {@code unit} names what they count. */
    public static SettingKind<Long> longInteger(String unit, long min, long max) {
        Checks.notBlank("unit", unit);
        return new SettingKind<>(
                range(unit, min, max),
                text -> Checks.inRange(unit, Long.parseLong(text), min, max),
                String::valueOf);
    }

    /** Returns times in milliseconds, in a closed range. */
    public static SettingKind<Long> millis(long min, long max) {
        return longInteger("milliseconds", min, max);
    }

    /** Returns decimal numbers in a closed range; {@code unit} names what they measure. */
    public static SettingKind<Double> decimal(String unit, double min, double max) {
        Checks.notBlank("unit", unit);
        return new SettingKind<>(
                unit + ", a decimal number from " + min + " to " + max,
                text -> Checks.inRange(unit, Double.parseDouble(text), min, max),
                String::valueOf);
    }

    /** Returns TCP ports, 0 included, which stands for any free port. */
    public static SettingKind<Integer> port() {
        return integer("TCP port (0: any free one)", 0, MAX_PORT);
    }

    /** Returns text that is not blank. */
    public static SettingKind<String> text() {
        return new SettingKind<>(
                "text, not blank", text -> Checks.notBlank("text", text), text -> text);
    }

    /** Returns identifiers as in the configuration. */
    public static SettingKind<String> id() {
        return new SettingKind<>(
                "an identifier, 1 to 128 letters, digits, '.', '_' or '-', the first a letter or"
                        + " digit",
                text -> Checks.id("identifier", text),
                text -> text);
    }

    /** Returns IP numbers, version 4 or 6; names are not resolved. */
    public static SettingKind<String> ipNumber() {
        return new SettingKind<>(
                "an IP number such as 127.0.0.1 or ::1", SettingKinds::parseIpNumber, text -> text);
    }

    /** Returns absolute http URLs with a host. */
    public static SettingKind<URI> httpUri() {
        return new SettingKind<>(
                "a URL such as http://127.0.0.1:8500", SettingKinds::parseHttpUri, URI::toString);
    }

    /** Returns paths of files; whether there is such a file is not looked at. */
    public static SettingKind<Path> path() {
        return new SettingKind<>(
                "the path of a file",
                text -> Path.of(Checks.notBlank("path", text)),
                Path::toString);
    }

    /** Returns true and false. */
    public static SettingKind<Boolean> bool() {
        return new SettingKind<>("true or false", SettingKinds::parseBoolean, String::valueOf);
    }

    /** Returns the constants of an enum, in lower case with hyphens. */
    public static <E extends Enum<E>> SettingKind<E> oneOf(Class<E> type) {
        List<E> constants = List.of(type.getEnumConstants());
        String allowed =
                constants.stream()
                        .map(SettingKinds::enumText)
                        .collect(Collectors.joining(", ", "one of ", ""));
        return new SettingKind<>(
                allowed,
                text ->
                        constants.stream()
                                .filter(constant -> enumText(constant).equals(text))
                                .findFirst()
                                .orElseThrow(() -> new IllegalArgumentException(allowed)),
                SettingKinds::enumText);
    }

    /** Returns one address as host:port. */
    public static SettingKind<Address> address() {
        return new SettingKind<>(
                "host:port such as 127.0.0.1:7000", SettingKinds::parseAddress, Address::toString);
    }

    /** Returns lists of addresses, separated by commas; the empty text is the empty list. */
    public static SettingKind<List<Address>> addresses() {
        return new SettingKind<>(
                "host:port list, separated by commas, may be empty",
                text -> list(text).stream().map(SettingKinds::parseAddress).toList(),
                list -> list.stream().map(Address::toString).collect(Collectors.joining(",")));
    }

    /** Returns lists of texts, separated by commas; the empty text is the empty list. */
    public static SettingKind<List<String>> texts() {
        return new SettingKind<>(
                "list, separated by commas, may be empty",
                SettingKinds::list,
                list -> String.join(",", list));
    }

    private static String range(String unit, long min, long max) {
        return unit + ", a whole number from " + min + " to " + max;
    }

    private static List<String> list(String text) {
        if (text.isBlank()) {
            return List.of();
        }
        return Arrays.stream(text.split(",", -1))
                .map(part -> Checks.notBlank("part of the list", part.trim()))
                .toList();
    }

    private static boolean parseBoolean(String text) {
        if (text.equals("true") || text.equals("false")) {
            return text.equals("true");
        }
        throw new IllegalArgumentException("neither true nor false");
    }

    private static String enumText(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String parseIpNumber(String text) {
        Matcher matcher = IPV4.matcher(text);
        if (!matcher.matches()) {
            if (IPV6.matcher(text).matches()) {
                return text;
            }
            throw new IllegalArgumentException("not an IP number");
        }
        for (int i = 1; i <= matcher.groupCount(); i++) {
            Checks.inRange("octet", Integer.parseInt(matcher.group(i)), 0, MAX_OCTET);
        }
        return text;
    }

    private static URI parseHttpUri(String text) {
        URI uri = URI.create(text);
        boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
        if (!isHttp || uri.getHost() == null) {
            throw new IllegalArgumentException("not an http URL with a host");
        }
        return uri;
    }

    private static Address parseAddress(String text) {
        Matcher matcher = HOST_PORT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not host:port");
        }
        return new Address(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }
}
