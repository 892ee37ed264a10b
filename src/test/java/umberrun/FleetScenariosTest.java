package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.Test;
import org.msgpack.core.MessagePack;
import picocli.CommandLine;
import umberrun.cli.Commands;
import umberrun.config.Config;
import umberrun.config.Config.InvalidConfig;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.ProcessGeneration;
import umberrun.fleet.net.FleetCodec;
import umberrun.fleet.net.FleetCodec.UndecodableException;

/**
 * Tests the fleet in front ends that run in this process: settings, wire format, discovery by
 * Consul and operator commands.
 */
public class FleetScenariosTest {
  private static final Claim SELF =
      new Claim(
          "n1",
          new ProcessGeneration(3, -7),
          9,
          Claim.Status.ALIVE,
          new About(
              "hall-a",
              "127.0.0.1:7200",
              About.State.SERVING,
              "127.0.0.1:7100",
              "127.0.0.1:9000",
              "0.1",
              12,
              true),
          "",
          0);

  @Test
  public void badSettingsAreRefusedByName() throws Exception {
    for (Map.Entry<String, String> bad :
        Map.of(
                "{}",
                "fleet.name",
                "{\"name\":\"f\"}",
                "fleet.listen",
                "{\"name\":\"f\",\"listen\":\"nowhere\"}",
                "fleet.listen",
                "{\"name\":\"f\",\"listen\":\"127.0.0.1:1\",\"join\":[\"127.0.0.1:0\"]}",
                "fleet.join",
                "{\"name\":\"f\",\"listen\":\"127.0.0.1:1\",\"members\":0}",
                "fleet.members",
                "{\"name\":\"f\",\"listen\":\"127.0.0.1:1\",\"packets_per_s\":-1}",
                "fleet.packets_per_s",
                "{\"name\":\"f\",\"listen\":\"127.0.0.1:1\",\"timeout_ms\":400}",
                "fleet.timeout_ms",
                "{\"name\":\"f\",\"listen\":\"127.0.0.1:1\",\"intervall_ms\":400}",
                "fleet.intervall_ms",
                "{\"name\":\"f\",\"listen\":\"127.0.0.1:1\",\"consul\":true}",
                "consul.agent")
            .entrySet()) {
      Path file =
          Files.writeString(
              Files.createTempFile("operator", ".json"), "{\"fleet\":" + bad.getKey() + "}");
      String error =
          assertThrows(
                  InvalidConfig.class,
                  () ->
                      Config.read(
                          Map.of(
                              "EDGE_CONFIG",
                              "examples/config.json",
                              "UMBERRUN_OPERATOR",
                              file.toString())))
              .getMessage();
      assertTrue(error, error.contains(bad.getValue()));
      assertFalse(error, error.contains("\n"));
    }
  }

  /**
   * A datagram that is truncated or corrupted at any byte causes an UndecodableException at most; a
   * datagram of another fleet is reported as foreign.
   */
  @Test
  public void damagedDatagramsAreUndecodable() throws Exception {
    GossipMessage message =
        new GossipMessage(
            GossipMessage.Kind.PING_REQUEST,
            77,
            "n2",
            "127.0.0.1:7201",
            SELF,
            List.of(new Claim("n4", SELF.generation(), 2, Claim.Status.SUSPECT, null, "n5", 0)));
    byte[] bytes = new FleetCodec("yard").encode(message);
    assertEquals(message, new FleetCodec("yard").decodeMessage(bytes));
    for (int i = 0; i < bytes.length; i++) {
      byte[] truncated = Arrays.copyOf(bytes, i);
      assertThrows(
          UndecodableException.class, () -> new FleetCodec("yard").decodeMessage(truncated));
      byte[] corrupted = bytes.clone();
      corrupted[i] ^= 0x55;
      try {
        new FleetCodec("yard").decodeMessage(corrupted);
      } catch (UndecodableException e) {
        // A corrupted datagram may decode or throw this exception, but no other.
      }
    }
    assertTrue(
        assertThrows(UndecodableException.class, () -> new FleetCodec("other").decodeMessage(bytes))
            .foreign);
  }

  /** Fields that a later version appends, at any level, are skipped. */
  @Test
  public void unknownFieldsAreSkipped() throws Exception {
    var out = MessagePack.newDefaultBufferPacker();
    out.packArrayHeader(9)
        .packInt(1)
        .packString("yard")
        .packInt(0)
        .packLong(5)
        .packString("n2")
        .packString("");
    out.packArrayHeader(9)
        .packString("n1")
        .packInt(3)
        .packLong(-7)
        .packLong(9)
        .packInt(0)
        .packString("")
        .packLong(0);
    out.packArrayHeader(9)
        .packString("hall-a")
        .packString("127.0.0.1:7200")
        .packInt(1)
        .packString("127.0.0.1:7100")
        .packString("127.0.0.1:9000")
        .packString("0.1")
        .packInt(12)
        .packBoolean(true)
        .packString("new");
    out.packMapHeader(1).packString("new").packInt(1);
    out.packArrayHeader(0).packArrayHeader(2).packInt(1).packNil();
    assertEquals(SELF, new FleetCodec("yard").decodeMessage(out.toByteArray()).sender());
  }

  /** A datagram stays within its limit, however many claims are piggybacked. */
  @Test
  public void datagramsAreBounded() {
    List<Claim> many =
        java.util.stream.IntStream.range(0, 100)
            .mapToObj(
                i ->
                    new Claim(
                        "member-" + i,
                        SELF.generation(),
                        1,
                        Claim.Status.ALIVE,
                        SELF.about(),
                        "",
                        0))
            .toList();
    byte[] bytes =
        new FleetCodec("yard")
            .encode(new GossipMessage(GossipMessage.Kind.PING, 1, "n2", "", SELF, many));
    assertTrue(
        bytes.length + " bytes",
        bytes.length <= FleetCodec.MAX_DATAGRAM_BYTES && bytes.length > 1_200);
  }

  /**
   * Two members without seeds find each other by Consul. The operator commands show them and make
   * one leave.
   */
  @Test
  public void membersAreFoundByConsul() throws Exception {
    int[] ports = {Processes.freePort(), Processes.freePort()};
    try (Scenario s = Scenario.of("w1")) {
      for (int i = 0; i < 2; i++) {
        s.name = "m" + i;
        s.startBeside(
            JsonParser.parseString(
                    "{\"invoke\":{\"listen\":\"127.0.0.1:0\"},\"consul\":{\"agent\":\""
                        + s.discoveryAddress()
                        + "\"},\"fleet\":{\"name\":\"yard\",\"listen\":\"127.0.0.1:"
                        + ports[i]
                        + "\",\"consul\":true,\"interval_ms\":100,"
                        + "\"timeout_ms\":40}}")
                .getAsJsonObject());
      }
      String first = "127.0.0.1:" + ports[0];
      Processes.await(
          "m1 was not found",
          Scenario.TIMEOUT_SECONDS,
          () -> runCommand(0, "fleet", first).matches("(?s).*m0 .*self.*m1 .*alive.*"));
      assertTrue(runCommand(0, "fleet", first, "--json").contains("\"divisor\":"));
      assertTrue(runCommand(0, "fleet", "leave", "127.0.0.1:" + ports[1]).contains("left"));
      Processes.await(
          "m1 did not leave",
          Scenario.TIMEOUT_SECONDS,
          () -> runCommand(0, "fleet", first).matches("(?s).*m1 +\\S+ +left.*"));
      runCommand(1, "fleet", "127.0.0.1:1");
      runCommand(1, "fleet");
    }
  }

  /** The simulate command prints reproducible figures and writes them to a CSV file and a plot. */
  @Test
  public void fleetsAreSimulatedFromTheCommandLine() throws Exception {
    Path csv = Files.createTempFile("trial", ".csv");
    Path plot = Files.createTempFile("trial", ".png");
    String output =
        runCommand(
            0,
            "simulate",
            "fleet",
            "--members",
            "9",
            "--loss",
            "0.1",
            "--cut",
            "5s",
            "--seed",
            "7",
            "--quiet",
            "5s",
            "--csv",
            csv.toString(),
            "--plot",
            plot.toString());
    assertTrue(output, output.contains("a third killed: all agree, s") && !output.contains("NaN"));
    assertEquals(
        output,
        runCommand(
            0,
            "simulate",
            "fleet",
            "--members",
            "9",
            "--loss",
            "0.1",
            "--cut",
            "5s",
            "--seed",
            "7",
            "--quiet",
            "5s"));
    assertEquals(12, Files.readAllLines(csv).size());
    assertTrue(Files.size(plot) > 1_000);
    runCommand(2, "simulate", "fleet", "--cut", "5 parsecs");
    runCommand(2, "simulate", "fleet", "--members", "1");
  }

  /** Runs a command, checks its exit status and returns its output. */
  private static String runCommand(int expectedStatus, String... args) {
    StringWriter out = new StringWriter();
    int status =
        new CommandLine(new Commands())
            .setOut(new PrintWriter(out, true))
            .setErr(new PrintWriter(out, true))
            .execute(args);
    assertEquals(out.toString(), expectedStatus, status);
    return out.toString();
  }
}
