package org.apricotgauge.http;

import java.net.URI;
import org.apricotgauge.model.Address;

/**
 * Creates the URIs of hosts, for callers to cache: parsing one costs more than the rest of a new
 * request.
 */
public final class Hosts {

    private Hosts() {}

    /** Returns the root URI of a host that uses plain HTTP. */
    public static URI uriOf(Address address) {
        return URI.create("http://" + address);
    }
}
