package umberrun.works;

import com.google.gson.annotations.SerializedName;
import java.util.Map;
import java.util.Set;

/**
 * What a front end reports to the holder of the duty {@code works}. The serialized names are read
 * by front ends of other versions.
 *
 * @param member the reporting process
 * @param bans progress of each ban that this front end applies, by machine; a machine that is
 *     absent is not banned there
 * @param resumed machines of plans that an operator resumed manually at this front end
 * @param inFlight calls in flight at each machine
 * @param copies functions in use, each with the machines known to have it loaded
 * @param callsPerSecond recent rate of calls that arrived at this front end
 * @param refusedPerSecond recent rate of those that it refused
 */
public record FrontEndReport(
    Ledger.Member member,
    @SerializedName("out") Map<String, BanProgress> bans,
    Set<String> resumed,
    @SerializedName("underWay") Map<String, Integer> inFlight,
    Map<String, Set<String>> copies,
    @SerializedName("taken") double callsPerSecond,
    @SerializedName("refused") double refusedPerSecond) {
  /**
   * A ban that this front end applies.
   *
   * @param banStep ledger step that began the ban
   * @param inFlight calls that this front end still has in flight at the machine
   */
  public record BanProgress(
      @SerializedName("ban") long banStep, @SerializedName("out") int inFlight) {}
}
