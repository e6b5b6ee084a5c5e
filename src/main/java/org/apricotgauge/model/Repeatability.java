package org.apricotgauge.model;

/** Whether the requests of a route may run more than once. */
public enum Repeatability {
    /** As RFC 9110 section 9.2.2 says of the method: GET, HEAD, PUT and the like are idempotent. */
    BY_METHOD,
    /** Every request may be repeated, whatever its method. */
    ALWAYS,
    /** No request may be repeated, whatever its method. */
    NEVER
}
