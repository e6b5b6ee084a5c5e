package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Vm;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All that the sources say of one VM.
 *
 * @param vm the VM
 * @param platformLeaving whether the platform's list says it is leaving or took it off
 * @param incarnation latest known run of its node; 0 if its node was never heard of
 * @param noticeIncarnations latest incarnation whose notice named the target, or the whole VM
 * @param unreachable whether a suspicion of it has stood for too long
 */
record KnownVm(
        Vm vm,
        boolean platformLeaving,
        long incarnation,
        PMap<String, Long> noticeIncarnations,
        boolean unreachable) {

    static KnownVm of(Vm vm) {
        return new KnownVm(vm, false, 0, HashTreePMap.empty(), false);
    }

    /** Returns whether work should keep away from the target. */
    boolean leaving(String target) {
        return platformLeaving || hasNotice(LeavingNotice.WHOLE_VM) || hasNotice(target);
    }

    private boolean hasNotice(String target) {
        Long by = noticeIncarnations.get(target);
        // A notice speaks for the run that gave it. Without this bound a VM that was restarted
        // under its old name would get no work for as long as its notice is remembered.
        return by != null && by >= incarnation;
    }

    KnownVm withVm(Vm newVm) {
        return new KnownVm(newVm, platformLeaving, incarnation, noticeIncarnations, unreachable);
    }

    KnownVm withPlatformLeaving(boolean leaving) {
        return new KnownVm(vm, leaving, incarnation, noticeIncarnations, unreachable);
    }

    KnownVm withIncarnation(long newer) {
        return new KnownVm(vm, platformLeaving, newer, noticeIncarnations, unreachable);
    }

    KnownVm withNotice(String target, long by) {
        if (noticeIncarnations.getOrDefault(target, 0L) >= by) {
            return this;
        }
        return new KnownVm(
                vm, platformLeaving, incarnation, noticeIncarnations.plus(target, by), unreachable);
    }

    KnownVm withUnreachable(boolean now) {
        return new KnownVm(vm, platformLeaving, incarnation, noticeIncarnations, now);
    }
}
