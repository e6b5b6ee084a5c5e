/** Ways to keep members to their limits over a fleet, compared in one simulation. */
package org.apricotgauge.bench.allotment;
