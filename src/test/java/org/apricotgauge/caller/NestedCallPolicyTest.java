package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvStandin;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Tests which requests count as nested calls of a target. */
class NestedCallPolicyTest {
    private final KvDialect mDialect = new KvDialect("booking");
    private final Set<String> mRunningIds = Set.of("a8abaea6");

    @Test
    void callOfARunningRequestHasItAsParent() {
        HttpFields call = request("a8abaea6.2345ead5");

        assertThat(NestedCallPolicy.parentId(mDialect, call, mRunningIds::contains))
                .contains("a8abaea6");
    }

    @Test
    void forgedParentIdIsIgnored() {
        // A caller that wants priority names a made-up parent. No such request is running at a
        // target of this VM, so the request is handled as any other.
        HttpFields forged = request("made-up.2345ead5");

        assertThat(NestedCallPolicy.parentId(mDialect, forged, mRunningIds::contains)).isEmpty();
    }

    private static HttpFields request(String id) {
        HttpFields.Mutable headers = HttpFields.build();
        KvStandin.address(headers, id);
        return headers;
    }
}
