package org.apricotgauge.http.client;

import org.eclipse.jetty.http.HttpFields;

/**
 * A response whose body has been read as a whole.
 *
 * @param status status code
 * @param headers headers
 * @param body body; not to be modified
 */
public record FetchedResponse(int status, HttpFields headers, byte[] body) {}
