package org.apricotgauge.bench;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.Patch;
import org.apricotgauge.config.PatchCodec;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.config.Rules;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/**
 * A list of patches that fills a configuration of a given size and then changes it.
 *
 * <p>Every patch is made from its number alone, so that a long list needs no memory. The daily mix
 * of changes is an assumption: 60% targets that move, 20% floors, 10% routes, 10% members.
 */
final class SyntheticPatches {
    private static final int ENTITIES_PER_PATCH = 2_000;
    private static final int FAILURE_DOMAINS = 12;
    private static final int SLOTS = 7;
    private static final int SPREAD = 7_919;

    private final SyntheticSize mSize;

    SyntheticPatches(SyntheticSize size) {
        mSize = size;
    }

    /** Returns how many patches fill the configuration. */
    int fillCount() {
        return (mSize.entities() + ENTITIES_PER_PATCH - 1) / ENTITIES_PER_PATCH;
    }

    /** Returns the entry at a position, from 1 on; all are accepted in their order. */
    LogEntry entryAt(long position) {
        return new LogEntry(position, PatchCodec.encode(patchOn(position - 1)));
    }

    /** Returns the patch on the given version; versions past the fill change what is there. */
    private Patch patchOn(long version) {
        List<PatchOperation> operations = new ArrayList<>();
        if (version < fillCount()) {
            int from = (int) version * ENTITIES_PER_PATCH;
            int to = Math.min(from + ENTITIES_PER_PATCH, mSize.entities());
            for (int i = from; i < to; i++) {
                operations.add(put(i));
            }
        } else {
            operations.add(change(version - fillCount()));
        }
        return new Patch(version, "operator@example.net", "", Rules.FIRST, operations);
    }

    private PatchOperation put(int entity) {
        int i = entity;
        if (i < mSize.services()) {
            DetectionOdds odds = new DetectionOdds(100, 1);
            return new PatchOperation.PutService(new Service(service(i), 50, odds, 10, 100, null));
        }
        i -= mSize.services();
        if (i < mSize.targets()) {
            return new PatchOperation.PutTarget(target(i, i % mSize.vms()));
        }
        i -= mSize.targets();
        if (i < mSize.routes()) {
            return new PatchOperation.PutRoute(route(i, 5_000));
        }
        i -= mSize.routes();
        return new PatchOperation.PutMember(new Member(member(i), 1));
    }

    private PatchOperation change(long number) {
        int spread = (int) (number * SPREAD % Integer.MAX_VALUE);
        int kind = (int) (number % 10);
        if (kind < 6) {
            int i = spread % mSize.targets();
            return new PatchOperation.PutTarget(target(i, (i + spread) % mSize.vms()));
        }
        if (kind < 8) {
            int i = spread % mSize.services();
            return new PatchOperation.SetFloorPercent(service(i), spread % 100);
        }
        if (kind < 9) {
            return new PatchOperation.PutRoute(
                    route(spread % mSize.routes(), 1_000 + spread % 9_000));
        }
        int i = spread % mSize.members();
        return new PatchOperation.PutMember(new Member(member(i), 1 + spread % 100));
    }

    private Target target(int i, int vm) {
        return new Target(
                "target-%06d".formatted(i),
                service(i % mSize.services()),
                "vm-%05d".formatted(vm),
                "domain-%02d".formatted(vm % FAILURE_DOMAINS),
                "10.%d.%d.%d".formatted(vm >> 16, vm >> 8 & 255, vm & 255),
                20_000 + i % 10_000,
                SLOTS);
    }

    private Route route(int i, long deadlineMillis) {
        return new Route(
                "route-%06d".formatted(i),
                "app-%04d.example.net".formatted(i % mSize.services()),
                "/api/v1/resource-%06d".formatted(i),
                service(i % mSize.services()),
                Priority.NORMAL,
                Repeatability.BY_METHOD,
                deadlineMillis);
    }

    private static String service(int i) {
        return "service-%05d".formatted(i);
    }

    private static String member(int i) {
        return "member-%07d".formatted(i);
    }
}
