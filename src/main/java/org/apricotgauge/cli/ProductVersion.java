package org.apricotgauge.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The version of this build, as Maven writes it into the jar. */
public final class ProductVersion {
    private static final String RESOURCE =
            "/META-INF/maven/org.apricotgauge/apricotgauge/pom.properties";
    private static final String UNPACKAGED = "unpackaged";

    private ProductVersion() {}

    /** Returns the version, or {@code unpackaged} where the classes were not run from the jar. */
    public static String text() {
        try (InputStream stream = ProductVersion.class.getResourceAsStream(RESOURCE)) {
            if (stream == null) {
                return UNPACKAGED;
            }
            Properties properties = new Properties();
            properties.load(stream);
            return properties.getProperty("version", UNPACKAGED);
        } catch (IOException e) {
            return UNPACKAGED;
        }
    }
}
