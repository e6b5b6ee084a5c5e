package org.apricotgauge.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Service;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PatchCodecTest {

    @Test
    void everyOperationSurvivesTheWire() {
        Service shared =
                new Service("s", 50, new DetectionOdds(2, 1), 10, 30, new Address("10.0.0.9", 80));
        Patch patch =
                new Patch(
                        7,
                        "almaz",
                        "",
                        Rules.FIRST,
                        List.of(
                                new PatchOperation.PutService(shared),
                                new PatchOperation.RemoveService("s"),
                                new PatchOperation.PutTarget(Patches.target("t", "s")),
                                new PatchOperation.RemoveTarget("t"),
                                new PatchOperation.PutRoute(Patches.route("r", "s")),
                                new PatchOperation.RemoveRoute("r"),
                                new PatchOperation.PutMember(new Member("m", 2)),
                                new PatchOperation.RemoveMember("m"),
                                new PatchOperation.SetFloorPercent("s", 60),
                                new PatchOperation.SetDetection("s", new DetectionOdds(1, 3)),
                                new PatchOperation.SetRetryBudget("s", 5),
                                new PatchOperation.SetFleetShare("s", 100),
                                new PatchOperation.SetPredecessor("s", null),
                                new PatchOperation.SetTargetSlots("t", 7)));

        PatchCodec.Result result = PatchCodec.decode(PatchCodec.encode(patch));

        assertThat(result).isEqualTo(new PatchCodec.Decoded(patch));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"op\":\"removeRoute\",\"id\":\"r\",\"force\":true}"
                        + "|operations[0].force: unknown field",
                "{\"op\":\"removeRoute\",\"id\":\"a b\"}"
                        + "|operations[0]: id must be 1 to 128 letters, digits, '.', '_' or '-',"
                        + " was \"a b\"",
                "{\"op\":\"setTargetSlots\",\"target\":\"t\"}"
                        + "|operations[0].slots: Cannot map `null` into type `int`",
                "{\"op\":\"setTargetSlots\",\"target\":\"t\",\"slots\":\"3\"}|operations[0].slots",
                "{\"op\":\"setTargetSlots\",\"target\":\"t\",\"slots\":3.5}|operations[0].slots: ",
                "{\"op\":\"dropAll\"}|operations[0]: Could not resolve type id 'dropAll'",
                "{\"op\":\"removeRoute\",\"id\":\"r\",\"id\":\"q\"}|Duplicate field 'id'",
                "{\"op\":\"removeRoute\"}]} {|Trailing token",
                "null|operations[0] must be given",
                "{]|Unexpected close marker ']': expected '}' at line 1",
            })
    void faultIsToldInOneLine(String operation, String detail) {
        String body =
                "{\"baseVersion\":0,\"author\":\"a\",\"rulesVersion\":1,\"operations\":["
                        + operation
                        + "]}";

        PatchCodec.Result result = PatchCodec.decode(body);

        String message = ((PatchCodec.Undecodable) result).reason().message();
        assertThat(message).startsWith("malformed patch: ").contains(detail);
        assertThat(message).doesNotContain("\n");
    }

    @Test
    void bodyOverTheBoundIsRefused() {
        String body = " ".repeat(PatchCodec.MAX_BYTES) + "{}";

        assertThat(PatchCodec.decode(body))
                .isEqualTo(
                        new PatchCodec.Undecodable(
                                new RefusalReason.TooLarge(
                                        PatchCodec.MAX_BYTES + 2, PatchCodec.MAX_BYTES)));
    }
}
