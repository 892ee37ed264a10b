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
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import saddlestall.Dispatcher.*;

/** Tests the layout of frames and replies, and the rejection of malformed frames. */
class FrameCodecTest {
  /** The records of the last frame, in order. */
  private final List<Object> records = new ArrayList<>();

  private final FrameCodec.Sink sink =
      new FrameCodec.Sink() {
        @Override
        public void select(int instance) {
          records.add("select " + instance);
        }

        @Override
        public void spawn(long seed, String settings) {
          records.add("spawn " + seed + " " + settings);
        }

        @Override
        public void killed() {
          records.add("killed");
        }

        @Override
        public void event(Event event) {
          records.add(event);
        }
      };

  /** Builds a frame from its tail and its records in hex; the records are padded with zeros. */
  private static byte[] frame(String tail, String... records) {
    byte[] tailBytes = HexFormat.of().parseHex(tail.replace(" ", ""));
    ByteBuffer frame = ByteBuffer.allocate(16 + 48 * records.length + tailBytes.length);
    frame.putInt(records.length).putInt(frame.capacity()).putDouble(243.4375);
    for (int i = 0; i < records.length; i++) {
      frame.position(16 + 48 * i).put(HexFormat.of().parseHex(records[i].replace(" ", "")));
    }
    frame.position(16 + 48 * records.length).put(tailBytes);
    return frame.array();
  }

  private List<Object> read(byte[] frame) throws IOException {
    records.clear();
    new FrameCodec().read(FrameCodec.readFrame(new ByteArrayInputStream(frame)), sink);
    return records;
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
    AttemptOutcome outcome =
        (AttemptOutcome)
            read(frame(
                    "",
                    "05 5d3a91c4 00 03124a07 00 4032800000000000 01 00000011 "
                        + "03 3f1eb852 3ecccccd 3fa00000 00000000"))
                .get(0);
    assertEquals(OutcomeCode.OK, outcome.code());
    assertEquals(18_500, outcome.elapsed());
    assertTrue(outcome.callClosed());
    assertEquals(CopyStatus.WARM, outcome.copyStatus());
    assertEquals(2, outcome.concurrency());
    assertArrayEquals(new float[] {0.62f, 0.4f, 1.25f}, outcome.loadReport());
  }

  @Test
  void readsListsByTheirNumber() throws IOException {
    WorkerListUpdate update =
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
        update);
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
    ProbeResult probe = (ProbeResult) read(frame("", "08 4032800000000000 00000007 6e 00")).get(0);
    assertEquals(OutcomeCode.TIMEOUT, probe.code());
    assertNull(probe.loadReport());
    PeerMessage message = (PeerMessage) read(frame("0102", "09 00000002 00000000 00000002")).get(0);
    assertArrayEquals(new byte[] {1, 2}, message.bytes());
  }

  @Test
  void skipsUnknownEventsAndReadsUnknownOutcomesAsErrors() throws IOException {
    assertEquals(List.of(new TimerFired(1)), read(frame("", "63", "07 0000000000000001")));
    assertEquals(
        OutcomeCode.ERROR,
        ((AttemptOutcome) read(frame("", "05 00000001 00 00000001 63")).get(0)).code());
  }

  @Test
  void rejectsMalformedFrames() {
    byte[] valid = frame("", "0d 00000003");
    byte[] endsInRecord = Arrays.copyOf(valid, 30);
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(endsInRecord));
    byte[] endsInHeader = Arrays.copyOf(valid, 9);
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(endsInHeader));
    byte[] tooManyRecords = valid.clone();
    tooManyRecords[3] = 9;
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(tooManyRecords));
    byte[] shorterThanHeader = valid.clone();
    shorterThanHeader[7] = 3;
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(shorterThanHeader));
    byte[] missingTail = frame("", "01 0000000000000005 00000000 00000002");
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(missingTail));
    byte[] unknownListNumber = frame("", "02 02 0000000000000029 0044");
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(unknownListNumber));
    byte[] unknownListKind = frame("", "02 07");
    assertThrows(FrameCodec.InvalidFrame.class, () -> read(unknownListKind));
  }

  @Test
  void returnsNullAtTheEndOfInput() throws IOException {
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
    Settings settings =
        SettingsJson.read(
            """
        {"Classes": [{"Aim": 1200.5, "GiveUp": 3000.0, "Idempotency": "deduplicated", "Group": "zone",
          "DedupWindow": 5000, "Worth": 2.0, "Name": "x", "New": {}}], "Siblings": 3, "Another": [1],
         "FamilyInfo": {"MayLoad": true, "LoadsWithin": 5000, "MissMode": "miss", "MachineMb": [1, 2]},
         "Report": {"Fields": ["utilization", "odd"], "Via": "pull"}, "Limits": {"MostTries": 5}}""");
    assertEquals(1_200_500, settings.classes().get(0).latencyTarget());
    assertEquals(Idempotency.DEDUPLICATED, settings.classes().get(0).idempotency());
    assertEquals(DedupScope.ZONE, settings.classes().get(0).dedupScope());
    assertEquals(5_000_000, settings.loadPolicy().preloadWindow());
    assertTrue(settings.loadPolicy().mayPreload() && !settings.loadPolicy().loadsOnMiss());
    assertEquals(
        List.of(ReportField.UTILIZATION, ReportField.OTHER), settings.loadReportFormat().fields());
    assertEquals(ReportDelivery.PROBES, settings.loadReportFormat().delivery());
  }
}
