package org.apricotgauge.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;

/** The gates of a VM's targets, made when first needed. Thread-safe. */
final class TargetGates {
    private final ConcurrentMap<String, TargetGate> mGates = new ConcurrentHashMap<>();
    private final Ticker mTicker;

    TargetGates(Ticker ticker) {
        mTicker = ticker;
    }

    /** Returns the gate of a target; a new one if its slots or address changed. */
    TargetGate of(Target target) {
        TargetGate gate = mGates.get(target.id());
        if (gate != null && gate.target().equals(target)) {
            return gate;
        }
        return mGates.compute(
                target.id(),
                (id, old) ->
                        old != null && old.target().equals(target)
                                ? old
                                : new TargetGate(target, mTicker));
    }

    void forEach(Consumer<TargetGate> action) {
        Collection<TargetGate> gates = new ArrayList<>(mGates.values());
        gates.forEach(action);
    }
}
