package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.WithheldBody;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.Test;

class LargeBodiesTest {
    private final LargeBodies mBodies = new LargeBodies(true, new MetricRegistry());
    private final HttpFields.Mutable mHeaders = HttpFields.build();

    private static BytesRequestContent body(int bytes) {
        return new BytesRequestContent(ByteBuffer.allocate(bytes).array());
    }

    @Test
    void shortBodyIsSentWithItsHead() {
        assertThat(mBodies.withhold(body(1_000), mHeaders)).isNull();
        assertThat(mHeaders.contains(HeaderNames.BODY_ON_DEMAND)).isFalse();
    }

    @Test
    void nothingIsWithheldWhereLoadIsNotShared() {
        LargeBodies off = new LargeBodies(false, new MetricRegistry());

        assertThat(off.withhold(body(100_000), mHeaders)).isNull();
    }

    @Test
    void largeBodyWaitsUntilTheGuardAsksForIt() {
        WithheldBody withheld = mBodies.withhold(body(100_000), mHeaders);
        boolean[] demanded = new boolean[1];

        assertThat(withheld.read()).isNull();
        withheld.demand(() -> demanded[0] = true);
        LargeBodies.onAcknowledged(
                withheld,
                HttpFields.build().put(HeaderNames.BODY_ON_DEMAND, HeaderNames.BODY_WITHHELD));
        assertThat(demanded[0]).isFalse();

        LargeBodies.onAcknowledged(withheld, HttpFields.EMPTY);
        assertThat(demanded[0]).isTrue();
        Content.Chunk chunk = withheld.read();
        assertThat(chunk.remaining()).isEqualTo(100_000);
    }

    // Guards against a guard of an earlier release that waits for a body which never comes.
    @Test
    void acknowledgementWithoutTheHeaderReleasesTheBody() {
        WithheldBody withheld = mBodies.withhold(body(100_000), mHeaders);

        LargeBodies.onAcknowledged(withheld, HttpFields.EMPTY);

        assertThat(withheld.read().remaining()).isEqualTo(100_000);
    }
}
