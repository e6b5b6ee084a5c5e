package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * An event of a kind that this release does not know, kept so that a reader still shows it.
 *
 * @param type the kind's name
 * @param json its fields as JSON text
 */
public record UnrecognizedBody(String type, String json) implements EventBody {

    /** Checks the parts. */
    public UnrecognizedBody {
        Checks.notBlank("type", type);
        Checks.notBlank("json", json);
    }
}
