package org.apricotgauge.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Member;
import org.junit.jupiter.api.Test;

class SnapshotCodecTest {
    private static final int MEMBERS = 30_000;

    @Test
    void chunksStayBelowTheBoundAndComeTogetherAgain() {
        ConfigHistory history = large();

        List<String> texts =
                SnapshotCodec.encode(history).stream().map(SnapshotCodec::toJson).toList();

        assertThat(texts).hasSizeGreaterThan(1);
        assertThat(texts).allMatch(t -> t.getBytes(UTF_8).length < SnapshotCodec.MAX_CHUNK_BYTES);
        SnapshotAssembler.Result result =
                SnapshotCodec.decode(texts.stream().map(SnapshotCodec::fromJson).toList());
        assertThat(((SnapshotAssembler.Restored) result).history().digest())
                .isEqualTo(history.digest());
    }

    // A peer's snapshot lacks one member (a fault in its memory, a bug in its release). The
    // newcomer
    // would serve a configuration that no other node has, under the same version; its digest over
    // the
    // content it got differs from the one the snapshot announces.
    @Test
    void contentThatDoesNotMatchTheDigestIsRejected() {
        SnapshotChunk whole = SnapshotCodec.encode(Patches.accepted(putMember("m1"))).get(0);
        SnapshotChunk torn =
                new SnapshotChunk(
                        whole.mark(),
                        whole.digest(),
                        0,
                        1,
                        whole.services(),
                        whole.targets(),
                        whole.routes(),
                        List.of(),
                        null);

        SnapshotAssembler.Result result = SnapshotCodec.decode(List.of(torn));

        assertThat(((SnapshotAssembler.Rejected) result).detail())
                .startsWith("digest of the content is ");
    }

    // While a newcomer fetches chunks the peer moves on, and the next chunk is of a later version.
    // Mixed, the two would make a configuration that never was.
    @Test
    void chunkOfAnotherSnapshotIsRejected() {
        ConfigHistory history = large();
        ConfigHistory later = history.apply(new LogEntry(3, "malformed")).history();
        SnapshotAssembler assembler = new SnapshotAssembler();

        assembler.add(SnapshotCodec.encode(history).get(0));
        SnapshotAssembler.Result result = assembler.add(SnapshotCodec.encode(later).get(1));

        assertThat(result)
                .isEqualTo(new SnapshotAssembler.Rejected("chunk 1 is of another snapshot"));
    }

    // A newer release's snapshot reaches a node of an old one. Its content may hold what the old
    // rules
    // do not know; from there the old node would judge the next entries otherwise than the new
    // ones.
    @Test
    void snapshotUnderNewerRulesIsRejected() {
        SnapshotChunk chunk = SnapshotCodec.encode(ConfigHistory.EMPTY).get(0);
        HistoryMark mark = new HistoryMark(0, 0, Rules.NEWEST + 1, Digest.ZERO, Digest.ZERO);
        Digest digest = ConfigHistory.restore(mark, Configuration.EMPTY).digest();
        SnapshotChunk newer =
                new SnapshotChunk(
                        mark,
                        digest,
                        0,
                        1,
                        chunk.services(),
                        chunk.targets(),
                        chunk.routes(),
                        chunk.members(),
                        null);

        assertThat(SnapshotCodec.decode(List.of(newer)))
                .isEqualTo(
                        new SnapshotAssembler.Rejected(
                                "rules version 4 is newer than this release knows (3)"));
    }

    @Test
    void missingChunkIsNotWhole() {
        List<SnapshotChunk> chunks = SnapshotCodec.encode(large());

        assertThat(SnapshotCodec.decode(chunks.subList(0, 1)))
                .isEqualTo(new SnapshotAssembler.Incomplete(1));
        assertThat(SnapshotCodec.decode(chunks.subList(1, 2)))
                .isEqualTo(new SnapshotAssembler.Rejected("chunk 0 expected, was 1"));
    }

    private static ConfigHistory large() {
        ConfigHistory one = half(ConfigHistory.EMPTY, 0);
        return half(one, MEMBERS / 2);
    }

    private static ConfigHistory half(ConfigHistory history, int from) {
        PatchOperation[] operations =
                IntStream.range(from, from + MEMBERS / 2)
                        .mapToObj(i -> putMember("m" + i))
                        .toArray(PatchOperation[]::new);
        LogEntry entry = Patches.entry(history.position() + 1, history.version(), operations);
        return history.apply(entry).history();
    }

    private static PatchOperation putMember(String id) {
        return new PatchOperation.PutMember(new Member(id, 1));
    }
}
