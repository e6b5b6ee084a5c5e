package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Vm;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The merged state of one VM from all sources.
 *
 * @param vm the VM
 * @param platformLeaving whether the platform lists it as leaving or removed it from the list
 * @param incarnation latest known incarnation of its node; 0 if its node was never observed
 * @param noticeIncarnations latest incarnation with a leaving notice, by target; the empty ID is
 *     the whole VM
 * @param unreachable whether a suspicion of it was not refuted in time
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

    /** Returns whether new requests should avoid the target. */
    boolean leaving(String target) {
        return platformLeaving || hasNotice(LeavingNotice.WHOLE_VM) || hasNotice(target);
    }

    private boolean hasNotice(String target) {
        Long noticeIncarnation = noticeIncarnations.get(target);
        // A notice is valid only for the run that published it. Without this check a VM restarted
        // under the same ID would get no requests for as long as the notice is stored.
        return noticeIncarnation != null && noticeIncarnation >= incarnation;
    }

    KnownVm withVm(Vm newVm) {
        return new KnownVm(newVm, platformLeaving, incarnation, noticeIncarnations, unreachable);
    }

    KnownVm withPlatformLeaving(boolean isLeaving) {
        return new KnownVm(vm, isLeaving, incarnation, noticeIncarnations, unreachable);
    }

    KnownVm withIncarnation(long newIncarnation) {
        return new KnownVm(vm, platformLeaving, newIncarnation, noticeIncarnations, unreachable);
    }

    KnownVm withNotice(String target, long noticeIncarnation) {
        if (noticeIncarnations.getOrDefault(target, 0L) >= noticeIncarnation) {
            return this;
        }
        return new KnownVm(
                vm,
                platformLeaving,
                incarnation,
                noticeIncarnations.plus(target, noticeIncarnation),
                unreachable);
    }

    KnownVm withUnreachable(boolean isUnreachable) {
        return new KnownVm(vm, platformLeaving, incarnation, noticeIncarnations, isUnreachable);
    }
}
