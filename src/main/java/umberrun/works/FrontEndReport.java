package umberrun.works;

import java.util.Map;
import java.util.Set;

/**
 * What a front end tells the holder of the duty {@code works}.
 *
 * @param out what it has out at each machine that it has banned, by the step that began the ban: a
 *     machine that is not named is not banned there
 * @param resumed machines of plans that were resumed by hand at its door
 * @param underWay calls at each machine
 * @param copies functions in use by the machines that hold them loaded, as far as it knows
 * @param taken calls that it took, and of those the refused, a second lately
 */
public record FrontEndReport(
    Ledger.Member member,
    Map<String, BanProgress> out,
    Set<String> resumed,
    Map<String, Integer> underWay,
    Map<String, Set<String>> copies,
    double taken,
    double refused) {
  /** A ban that holds at a front end, and how much it still has out there. */
  public record BanProgress(long ban, int out) {}
}
