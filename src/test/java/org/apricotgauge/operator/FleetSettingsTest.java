package org.apricotgauge.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetSettingsTest {
    private static final Address NODE = new Address("10.0.0.1", 1);

    @TempDir Path mDirectory;

    @Test
    void flagAndFileAddUpAndEachNodeCountsOnce() throws IOException {
        Path file = Files.writeString(mDirectory.resolve("nodes"), "10.0.0.1:1\n\n 10.0.0.2:2 \n");

        assertThat(settings(file).allNodes()).containsExactly(NODE, new Address("10.0.0.2", 2));
    }

    @Test
    void faultInTheFileNamesItsLine() throws IOException {
        Path file = Files.writeString(mDirectory.resolve("nodes"), "10.0.0.1:1\nodd\n");

        assertThatThrownBy(settings(file)::allNodes)
                .isInstanceOf(IOException.class)
                .hasMessageEndingWith("nodes line 2: \"odd\" is not host:port");
    }

    private static FleetSettings settings(Path file) {
        return new FleetSettings(List.of(NODE), Optional.of(file), 1_000, false, 1_000);
    }
}
