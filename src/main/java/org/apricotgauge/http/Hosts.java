package org.apricotgauge.http;

import java.net.URI;
import org.apricotgauge.model.Address;

/** Makes the URIs of hosts, to be kept: parsing one costs more than the rest of a new request. */
public final class Hosts {

    private Hosts() {}

    /** Returns the URI of the root of a host that speaks plain HTTP. */
    public static URI uriOf(Address address) {
        return URI.create("http://" + address);
    }
}
