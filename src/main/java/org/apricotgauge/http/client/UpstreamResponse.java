package org.apricotgauge.http.client;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** The head of a response of the next hop, and its trailers once the body has been read. */
public final class UpstreamResponse {
    private final int mStatus;
    private final HttpFields mHeaders;
    private final UpstreamResponse mOriginal;
    private volatile HttpFields.Mutable mTrailers;

    /** Creates a response without trailers so far. */
    public UpstreamResponse(int status, HttpFields headers) {
        this(status, headers, null);
    }

    private UpstreamResponse(int status, HttpFields headers, UpstreamResponse original) {
        mStatus = status;
        mHeaders = headers;
        mOriginal = original;
    }

    /** Returns this response with other headers, and the same trailers. */
    public UpstreamResponse withHeaders(HttpFields headers) {
        return new UpstreamResponse(mStatus, headers, this);
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
        HttpFields trailers = mOriginal == null ? mTrailers : mOriginal.trailers();
        return trailers == null ? HttpFields.EMPTY : trailers;
    }

    void addTrailer(HttpField field) {
        if (mTrailers == null) {
            mTrailers = HttpFields.build();
        }
        mTrailers.add(field);
    }
}
