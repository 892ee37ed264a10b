package saddlestall.benchlink;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import saddlestall.Dispatcher.*;

/** Frames by the layout of the wire, both ways, and each kind of malformed one. */
class FrameCodecTest {
  private final List<Object> seen = new ArrayList<>();

  private final FrameCodec.Sink sink =
      new FrameCodec.Sink() {
        @Override
        public void select(int instance) {
          seen.add("select " + instance);
        }

        @Override
        public void spawn(long seed, String settings) {
          seen.add("spawn " + seed + " " + settings);
        }

        @Override
        public void killed() {
          seen.add("killed");
        }

        @Override
        public void event(Event event) {
          seen.add(event);
        }
      };

  /** A frame of records, each given in hex and padded, and a tail. */
  private static byte[] frame(String tail, String... records) {
    byte[] end = HexFormat.of().parseHex(tail.replace(" ", ""));
    ByteBuffer b = ByteBuffer.allocate(16 + 48 * records.length + end.length);
    b.putInt(records.length).putInt(b.capacity()).putDouble(243.4375);
    for (int i = 0; i < records.length; i++) {
      b.position(16 + 48 * i).put(HexFormat.of().parseHex(records[i].replace(" ", "")));
    }
    b.position(16 + 48 * records.length).put(end);
    return b.array();
  }

  private List<Object> read(byte[] frame) throws IOException {
    seen.clear();
    new FrameCodec().read(FrameCodec.readFrame(new ByteArrayInputStream(frame)), sink);
    return seen;
  }

  @Test
  void readsACallAndATimer() throws IOException {
    assertEquals(
        List.of(
            "select 3",
            new CallArrival(
                0x5d3a91c4, 240_000, 12_000, 0x7c55d20a01L, 2, 384, 0, 0, false, false, 900_000),
            new TimerFired(77),
            new ClientDisconnected(0x0e6f2b19)),
        read(
            frame(
                "",
                "0d 00000003",
                "03 5d3a91c4 406e000000000000 4028000000000000 0000007c55d20a01 40000000 43c00000 00 0000 01 44610000",
                "07 000000000000004d",
                "06 0e6f2b19")));
  }

  @Test
  void readsAnOutcomeWithItsReport() throws IOException {
    AttemptOutcome o =
        (AttemptOutcome)
            read(frame(
                    "",
                    "05 5d3a91c4 00 03124a07 00 4032800000000000 01 00000011 "
                        + "03 3f1eb852 3ecccccd 3fa00000 00000000"))
                .get(0);
    assertEquals(OutcomeCode.OK, o.code());
    assertEquals(18_500, o.elapsed());
    assertTrue(o.callClosed());
    assertEquals(CopyStatus.WARM, o.copyStatus());
    assertEquals(2, o.concurrency());
    assertArrayEquals(new float[] {0.62f, 0.4f, 1.25f}, o.loadReport());
  }

  @Test
  void readsListsByTheirNumber() throws IOException {
    WorkerListUpdate m =
        (WorkerListUpdate)
            read(frame(
                    "0000 01 3f800000 0000000000000000 0000 0000 03124a07 0001 00 3fc00000 40b7d40000000000 0001 0002 2c9011f2",
                    "0c 0004 00000000 00000002",
                    "02 02 0000000000000029 0004"))
                .get(0);
    assertEquals(
        new WorkerListUpdate(
            ListKind.CACHED,
            List.of(
                new WorkerEntry(0x03124a07, 0, 0, 0, WorkerState.READY, 1, 0),
                new WorkerEntry(0x2c9011f2, 1, 1, 2, WorkerState.GONE, 1.5, 6_100_000))),
        m);
    assertEquals(new WorkerListUpdate(ListKind.FAILED, List.of()), read(frame("", "02 03")).get(0));
  }

  @Test
  void readsTheOtherEvents() throws IOException {
    assertEquals(
        new PreloadResult(640_000, 1, 0x2c9011f2, OutcomeCode.OK, 0x7c55d20a01L),
        read(frame("", "0b 4084000000000000 01 2c9011f2 00 0000007c55d20a01")).get(0));
    assertEquals("spawn 5 hi", read(frame("6869", "01 0000000000000005 00000000 00000002")).get(0));
    assertEquals("killed", read(frame("", "0a")).get(0));
    assertEquals(new StreamStarted(1, 2, 3), read(frame("", "04 00000001 02 00000003")).get(0));
    ProbeResult p = (ProbeResult) read(frame("", "08 4032800000000000 00000007 6e 00")).get(0);
    assertEquals(OutcomeCode.TIMEOUT, p.code());
    assertNull(p.loadReport());
    PeerMessage h = (PeerMessage) read(frame("0102", "09 00000002 00000000 00000002")).get(0);
    assertArrayEquals(new byte[] {1, 2}, h.bytes());
  }

  @Test
  void skipsUnknownEventsAndReadsUnknownOutcomesAsErrors() throws IOException {
    assertEquals(List.of(new TimerFired(1)), read(frame("", "63", "07 0000000000000001")));
    assertEquals(
        OutcomeCode.ERROR,
        ((AttemptOutcome) read(frame("", "05 00000001 00 00000001 63")).get(0)).code());
  }

  @Test
  void refusesMalformedFrames() {
    byte[] whole = frame("", "0d 00000003");
    assertThrows(
        FrameCodec.BadFrame.class, () -> read(java.util.Arrays.copyOf(whole, 30))); // truncated
    assertThrows(
        FrameCodec.BadFrame.class, () -> read(java.util.Arrays.copyOf(whole, 9))); // in the header
    byte[] many = whole.clone();
    many[3] = 9; // more records than bytes
    assertThrows(FrameCodec.BadFrame.class, () -> read(many));
    byte[] tiny = whole.clone();
    tiny[7] = 3; // a length below the header's
    assertThrows(FrameCodec.BadFrame.class, () -> read(tiny));
    assertThrows(
        FrameCodec.BadFrame.class,
        () -> read(frame("", "01 0000000000000005 00000000 00000002"))); // no tail
    assertThrows(
        FrameCodec.BadFrame.class,
        () -> read(frame("", "02 02 0000000000000029 0044"))); // list number
    assertThrows(FrameCodec.BadFrame.class, () -> read(frame("", "02 07"))); // kind of list
  }

  @Test
  void endOfInputBetweenFramesIsTheEnd() throws IOException {
    assertNull(FrameCodec.readFrame(new ByteArrayInputStream(new byte[0])));
  }

  @Test
  void writesActions() throws IOException {
    FrameCodec.Reply reply = new FrameCodec.Reply();
    reply.from(3);
    reply.add(new Send(0x5d3a91c4, 0x03124a07, 80_000));
    reply.add(new StartTimer(500_000, 77));
    reply.add(new Log("two servers known"));
    reply.add(new Preload(0x2c9011f2, 0x7c55d20a01L, 1));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    reply.write(out);
    assertEquals(
        "00000005"
            + "00000091"
            + "0f00000003"
            + "00".repeat(19)
            + "015d3a91c403124a074054000000000000"
            + "00".repeat(7)
            + "05407f400000000000000000000000004d"
            + "00".repeat(7)
            + "090000000000000011"
            + "00".repeat(15)
            + "0d2c9011f20000007c55d20a0101"
            + "00".repeat(10)
            + HexFormat.of().formatHex("two servers known".getBytes()),
        HexFormat.of().formatHex(out.toByteArray()));
  }

  @Test
  void settingsComeFromJson() {
    Settings s =
        SettingsJson.read(
            """
        {"Classes": [{"Aim": 1200.5, "GiveUp": 3000.0, "Idempotency": "deduplicated", "Group": "zone",
          "DedupWindow": 5000, "Worth": 2.0, "Name": "x", "New": {}}], "Siblings": 3, "Another": [1],
         "FamilyInfo": {"MayLoad": true, "LoadsWithin": 5000, "MissMode": "miss", "MachineMb": [1, 2]},
         "Report": {"Fields": ["utilization", "odd"], "Via": "pull"}, "Limits": {"MostTries": 5}}""");
    assertEquals(1_200_500, s.classes().get(0).latencyTarget());
    assertEquals(Idempotency.DEDUPLICATED, s.classes().get(0).idempotency());
    assertEquals(DedupScope.ZONE, s.classes().get(0).dedupScope());
    assertEquals(5_000_000, s.loadPolicy().preloadWindow());
    assertTrue(s.loadPolicy().mayPreload() && !s.loadPolicy().loadsOnMiss());
    assertEquals(
        List.of(ReportField.UTILIZATION, ReportField.OTHER), s.loadReportFormat().fields());
    assertEquals(ReportDelivery.PROBES, s.loadReportFormat().delivery());
  }
}
