package umberrun.works;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;

import com.google.gson.Gson;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.junit.Test;
import umberrun.works.Ledger.Entry;
import umberrun.works.Ledger.Late;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Member;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.State;

/**
 * Pins the JSON names under which the ledger is stored, front ends exchange messages and operators
 * get answers. They are written by reflection from record components and enum constants, so a
 * rename in the code would otherwise make stored plans and messages of other versions unreadable.
 */
public class StoredNamesTest {
  private static final Gson GSON = new Gson();

  private static final String LEDGER_JSON =
      "{\"fence\":7,\"steps\":9,"
          + "\"roll\":[{\"name\":\"n0\",\"start\":\"ab\"}],"
          + "\"plans\":["
          + "{\"id\":\"p1\",\"by\":\"op\",\"why\":\"disks\",\"atOnce\":2,\"oneHall\":true,"
          + "\"floor\":3,\"hallFloor\":1,\"limitMillis\":5000,\"late\":\"WAIT\",\"byHand\":false,"
          + "\"urgent\":true,\"state\":\"RUNNING\",\"reason\":\"\"},"
          + "{\"id\":\"p2\",\"by\":\"op\",\"why\":\"disks\",\"atOnce\":2,\"oneHall\":true,"
          + "\"floor\":3,\"hallFloor\":1,\"limitMillis\":5000,\"late\":\"SKIP\",\"byHand\":false,"
          + "\"urgent\":true,\"state\":\"PAUSED\",\"reason\":\"\"},"
          + "{\"id\":\"p3\",\"by\":\"op\",\"why\":\"disks\",\"atOnce\":2,\"oneHall\":true,"
          + "\"floor\":3,\"hallFloor\":1,\"limitMillis\":5000,\"late\":\"HOLD\",\"byHand\":false,"
          + "\"urgent\":true,\"state\":\"HELD\",\"reason\":\"\"},"
          + "{\"id\":\"p4\",\"by\":\"op\",\"why\":\"disks\",\"atOnce\":2,\"oneHall\":true,"
          + "\"floor\":3,\"hallFloor\":1,\"limitMillis\":5000,\"late\":\"WAIT\",\"byHand\":false,"
          + "\"urgent\":true,\"state\":\"CANCELLED\",\"reason\":\"\"},"
          + "{\"id\":\"p5\",\"by\":\"op\",\"why\":\"disks\",\"atOnce\":2,\"oneHall\":true,"
          + "\"floor\":3,\"hallFloor\":1,\"limitMillis\":5000,\"late\":\"WAIT\",\"byHand\":false,"
          + "\"urgent\":true,\"state\":\"ENDED\",\"reason\":\"\"}],"
          + "\"machines\":["
          + "{\"name\":\"m1\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"WAITING\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m2\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"MOVING\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m3\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"GOING\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m4\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"QUIET\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m5\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"FREE\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m6\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"BACK\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m7\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"DONE\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m8\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"SKIPPED\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"},"
          + "{\"name\":\"m9\",\"hall\":\"h\",\"plan\":\"p1\",\"stage\":\"FAILED\",\"since\":5,"
          + "\"ban\":4,\"overdue\":true,\"forced\":[\"n1\"],\"note\":\"x\"}],"
          + "\"trail\":[{\"step\":8,\"who\":\"op\",\"what\":\"plan p1\",\"fence\":7}]}";

  private static final String REPORT_JSON =
      "{\"member\":{\"name\":\"n0\",\"start\":\"ab\"},"
          + "\"out\":{\"m3\":{\"ban\":4,\"out\":2}},"
          + "\"resumed\":[\"m4\"],"
          + "\"underWay\":{\"m1\":6},"
          + "\"copies\":{\"f1\":[\"m2\"]},"
          + "\"taken\":12.5,\"refused\":0.25}";

  private static final String PLACE_JSON =
      "{\"machine\":\"m1\",\"may\":true,\"lastCopies\":1,\"underWay\":2,\"hallReady\":3,"
          + "\"reasons\":[\"ready\"]}";

  private static Plan plan(String id, Late late, State state) {
    return new Plan(id, "op", "disks", 2, true, 3, 1, 5_000, late, false, true, state, "");
  }

  private static Machine machine(String name, Stage stage) {
    return new Machine(name, "h", "p1", stage, 5, 4, true, List.of("n1"), "x");
  }

  private static Ledger ledger() {
    return new Ledger(
        7,
        9,
        List.of(new Member("n0", "ab")),
        List.of(
            plan("p1", Late.WAIT, State.RUNNING),
            plan("p2", Late.SKIP, State.PAUSED),
            plan("p3", Late.HOLD, State.HELD),
            plan("p4", Late.WAIT, State.CANCELLED),
            plan("p5", Late.WAIT, State.ENDED)),
        List.of(
            machine("m1", Stage.WAITING),
            machine("m2", Stage.MOVING),
            machine("m3", Stage.GOING),
            machine("m4", Stage.QUIET),
            machine("m5", Stage.FREE),
            machine("m6", Stage.BACK),
            machine("m7", Stage.DONE),
            machine("m8", Stage.SKIPPED),
            machine("m9", Stage.FAILED)),
        List.of(new Entry(8, "op", "plan p1", 7)));
  }

  private static FrontEndReport report() {
    return new FrontEndReport(
        new Member("n0", "ab"),
        Map.of("m3", new FrontEndReport.BanProgress(4, 2)),
        Set.of("m4"),
        Map.of("m1", 6),
        Map.of("f1", Set.of("m2")),
        12.5,
        0.25);
  }

  /** The ledger is written and read under the names that registers and files already hold. */
  @Test
  public void ledgerKeepsItsStoredNames() {
    assertEquals(LEDGER_JSON, ledger().text());
    assertEquals(ledger(), Ledger.parse(LEDGER_JSON));
    assertEquals("each stage occurs once", Stage.values().length, ledger().machines().size());
    assertEquals("each plan state occurs once", State.values().length, ledger().plans().size());
    assertEquals(3, Late.values().length);
  }

  /** Front ends of other versions read these reports. */
  @Test
  public void reportKeepsItsNames() {
    assertEquals(REPORT_JSON, GSON.toJson(report()));
    assertEquals(report(), GSON.fromJson(REPORT_JSON, FrontEndReport.class));
  }

  /** The answer to a dry run lists these places. */
  @Test
  public void placeKeepsItsNames() {
    MachineOrder.Place place = new MachineOrder.Place("m1", true, 1, 2, 3, List.of("ready"));
    assertEquals(PLACE_JSON, GSON.toJson(place));
    assertEquals(place, GSON.fromJson(PLACE_JSON, MachineOrder.Place.class));
  }

  /**
   * Each kind of message, as the codec writes it to other front ends. The codec is not visible from
   * this package, hence the reflection.
   */
  @Test
  public void messageKeepsItsNames() throws ReflectiveOperationException, IOException {
    Class<?> codec = Class.forName("umberrun.works.net.WorksCodec");
    Class<?> message = Class.forName("umberrun.works.net.WorksCodec$WorksMessage");
    Object[] kinds =
        Class.forName("umberrun.works.net.WorksCodec$WorksMessage$Kind").getEnumConstants();
    String[] kindNames = {"LEDGER", "REPORT", "MOVE", "ASK"};
    assertEquals(kindNames.length, kinds.length);
    Constructor<?> create = message.getDeclaredConstructors()[0];
    Method write = codec.getDeclaredMethod("write", message);
    Method read = codec.getDeclaredMethod("read", byte[].class);
    create.setAccessible(true);
    write.setAccessible(true);
    read.setAccessible(true);
    for (int i = 0; i < kinds.length; i++) {
      String json =
          "{\"kind\":\""
              + kindNames[i]
              + "\",\"version\":11,\"ledger\":\"text\",\"report\":"
              + REPORT_JSON
              + ",\"function\":\"f1\",\"machine\":\"m1\"}";
      Object full = create.newInstance(kinds[i], 11L, "text", report(), "f1", "m1");
      assertEquals(json, inflate((byte[]) write.invoke(null, full)));
      assertEquals(full, read.invoke(null, (Object) deflate(json)));
      assertArrayEquals(deflate(json), (byte[]) write.invoke(null, full));
    }
  }

  private static String inflate(byte[] bytes) throws IOException {
    try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static byte[] deflate(String text) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
    }
    return bytes.toByteArray();
  }
}
