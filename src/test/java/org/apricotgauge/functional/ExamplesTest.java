package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Target;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The examples are sound, and they are the two deployments. */
class ExamplesTest {

    @ParameterizedTest
    @CsvSource({
        "entoto, 3, lesson-schedule, booking-allocation, rider-records, bookings",
        "kampsi, 7, profile-catalogue, order-service, regrind-bending, orders"
    })
    void exampleHoldsTheDeployment(
            String site, int slots, String small, String second, String third, String once)
            throws IOException {
        Configuration configuration = fold(site);

        assertThat(configuration.targetsOf(small)).hasSize(6);
        assertThat(configuration.targetsOf(second)).hasSize(9);
        assertThat(configuration.targetsOf(third)).hasSize(9);
        assertThat(configuration.targets()).hasSize(24).allMatch(t -> t.slots() == slots);
        for (String service : new String[] {small, second, third}) {
            assertThat(
                            configuration.targetsOf(service).stream()
                                    .map(Target::failureDomain)
                                    .collect(Collectors.toSet()))
                    .hasSize(3);
        }
        assertThat(configuration.route(once).repeatability()).isEqualTo(Repeatability.NEVER);
        assertThat(configuration.service(small).fleetSharePercent()).isEqualTo(100);
    }

    private static Configuration fold(String site) throws IOException {
        Path path = Path.of("examples", site, "patches.json");
        ConfigHistory history = ConfigHistory.EMPTY;
        for (JsonNode patch : new ObjectMapper().readTree(path.toFile())) {
            FoldResult result =
                    history.apply(new LogEntry(history.position() + 1, patch.toString()));
            assertThat(result).isInstanceOf(FoldResult.Accepted.class);
            history = result.history();
        }
        return history.configuration();
    }
}
