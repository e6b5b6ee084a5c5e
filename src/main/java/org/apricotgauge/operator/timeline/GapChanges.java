package org.apricotgauge.operator.timeline;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Address;

/** Keeps a silent node from being told of in every round; confined to one thread. */
final class GapChanges {
    private Set<Address> mSilent = new HashSet<>();

    /** Returns the gaps that were not there in the round before. */
    List<TimelineGap> news(List<TimelineGap> gaps) {
        Set<Address> silent = new HashSet<>();
        List<TimelineGap> news =
                gaps.stream()
                        .filter(
                                gap ->
                                        !(gap instanceof TimelineGap.NodeSilent)
                                                || (silent.add(gap.node())
                                                        && !mSilent.contains(gap.node())))
                        .toList();
        mSilent = silent;
        return news;
    }
}
