package org.apricotgauge.model;

/**
 * A TCP address: an IP number (or name) and a port.
 *
 * <pre>{@code
 * Address address = new Address("127.0.0.1", 8080);
 * }</pre>
 *
 * @param host IP number or host name, not blank
 * @param port from 1 to 65,535
 */
public record Address(String host, int port) {

    /** Checks the parts. */
    public Address {
        Checks.notBlank("host", host);
        Checks.port("port", port);
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }

    // Written out: the methods that a record inherits are linked when they are first called, which
    // takes milliseconds of a node's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
