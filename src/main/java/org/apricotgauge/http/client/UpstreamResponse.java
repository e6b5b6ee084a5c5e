package org.apricotgauge.http.client;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** The head of a response of the next hop, and its trailers once the body has been read. */
public final class UpstreamResponse {
    private final int mStatus;
    private final HttpFields mHeaders;
    private volatile HttpFields.Mutable mTrailers;

    UpstreamResponse(int status, HttpFields headers) {
        mStatus = status;
        mHeaders = headers;
    }

    /** Returns the status code. */
    public int status() {
        return mStatus;
    }

    /** Returns the headers. */
    public HttpFields headers() {
        return mHeaders;
    }

    /** Returns the trailers; empty until the body has been read to its end. */
    public HttpFields trailers() {
        HttpFields trailers = mTrailers;
        return trailers == null ? HttpFields.EMPTY : trailers;
    }

    void addTrailer(HttpField field) {
        if (mTrailers == null) {
            mTrailers = HttpFields.build();
        }
        mTrailers.add(field);
    }
}
