/** How likely a target is to be in one of its short sick spells, from what its requests show. */
package org.apricotgauge.decision.health;
