package org.apricotgauge.caller;

import java.nio.ByteBuffer;
import org.apricotgauge.stop.StopSchedule;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A response that tells its caller to close the connection if a stop has begun by the time that its
 * head is sent.
 */
final class StopAwareResponse extends Response.Wrapper {
    private final StopSchedule mStop;

    StopAwareResponse(Request request, Response response, StopSchedule stop) {
        super(request, response);
        mStop = stop;
    }

    @Override
    public void write(boolean last, ByteBuffer content, Callback callback) {
        if (mStop.hasBegun() && !isCommitted()) {
            getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        super.write(last, content, callback);
    }
}
